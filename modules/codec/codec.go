// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// encoder sorts keys, so that equal values have equal bytes.
var encoder = mustEncoder()

func mustEncoder() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err) // the options above are constants
	}
	return mode
}

// Marshal returns the encoding of v.
func Marshal(v any) ([]byte, error) {
	data, err := encoder.Marshal(v)
	return data, errors.Trace(err)
}

// Unmarshal decodes data into v; fields that v does not have are ignored.
func Unmarshal(data []byte, v any) error {
	return errors.Trace(cbor.Unmarshal(data, v))
}
