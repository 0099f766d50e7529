// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "reflect"

// Changed returns the keys, such as limits.stale, whose values differ between two settings
// of the same type, in the order of the file's tables.
func Changed[T any](a, b T) []string {
	return changed("", reflect.ValueOf(a), reflect.ValueOf(b))
}

// changed returns the differing keys below a key.
func changed(key string, a, b reflect.Value) []string {
	if a.Kind() != reflect.Struct {
		if reflect.DeepEqual(a.Interface(), b.Interface()) {
			return nil
		}
		return []string{key}
	}
	if key != "" {
		key += "."
	}
	var list []string
	for i := range a.NumField() {
		list = append(list, changed(key+a.Type().Field(i).Tag.Get("toml"), a.Field(i), b.Field(i))...)
	}
	return list
}
