// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// PeerName is the DNS name in every entry's certificate.
const PeerName = "yardbridge-peer"

// Files names the key files; they are read at the start and again whenever a file changes.
type Files struct {
	Certificate string
	Key         string
	Authority   string // CA certificate that signed all entries' certificates
}

// Source provides TLS configurations from the most recently loaded files.
type Source struct {
	files Files

	mu        sync.Mutex
	modTimes  [3]time.Time
	keyPair   *tls.Certificate
	authority *x509.CertPool
}

// New loads the files and fails if they are not usable.
func New(files Files) (*Source, error) {
	s := &Source{files: files}
	if _, _, err := s.current(); err != nil {
		return nil, err
	}
	return s, nil
}

// current returns the key pair and the CA pool, reloaded if a file has changed; if the new
// files are not usable, the previous ones stay in force.
func (s *Source) current() (*tls.Certificate, *x509.CertPool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	modTimes, err := s.files.modTimes()
	if err == nil && modTimes != s.modTimes {
		err = s.load(modTimes)
	}
	if err != nil && s.keyPair == nil {
		return nil, nil, err
	}
	return s.keyPair, s.authority, nil
}

func (f Files) modTimes() ([3]time.Time, error) {
	var modTimes [3]time.Time
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			return modTimes, errors.Trace(err)
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}

func (s *Source) load(modTimes [3]time.Time) error {
	pair, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return errors.Annotatef(err, "loading key pair %s, %s", s.files.Certificate, s.files.Key)
	}
	pem, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return errors.Trace(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Errorf("%s contains no certificate", s.files.Authority)
	}
	s.keyPair, s.authority, s.modTimes = &pair, pool, modTimes
	return nil
}

// Server returns the configuration of a listener that accepts only entries.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, authority, err := s.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    authority,
			}, nil
		},
	}
}

// Client returns the configuration of a connection to an entry.
func (s *Source) Client() (*tls.Config, error) {
	pair, authority, err := s.current()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*pair},
		RootCAs:      authority,
		ServerName:   PeerName,
	}, nil
}
