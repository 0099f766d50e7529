// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerrpc

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/tlsconf"
	"github.com/yardbridge/yardbridge/services/members"
)

// authority signs certificates for a test.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	next int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	a := &authority{key: key, next: 1}
	template := a.template()
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	return a
}

func (a *authority) template() *x509.Certificate {
	a.next++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.next),
		Subject:      pkix.Name{CommonName: tlsconf.PeerName},
		DNSNames:     []string{tlsconf.PeerName},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
}

// issue writes a new key pair and the authority's certificate into a folder.
func (a *authority) issue(t *testing.T, dir string) tlsconf.Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, a.template(), a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	files := tlsconf.Files{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authority: filepath.Join(dir, "ca.pem"),
	}
	write := func(name, kind string, data []byte) {
		assert.NilError(t, os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
	}
	write(files.Certificate, "CERTIFICATE", der)
	write(files.Key, "EC PRIVATE KEY", keyDER)
	write(files.Authority, "CERTIFICATE", a.cert.Raw)
	return files
}

func source(t *testing.T, files tlsconf.Files) *tlsconf.Source {
	t.Helper()
	s, err := tlsconf.New(files)
	assert.NilError(t, err)
	return s
}

// serve runs a server that responds to probes, and returns its address.
func serve(t *testing.T, config *tls.Config) string {
	t.Helper()
	s := &Server{TLS: config, Logger: log.Nop()}
	s.Handlers.Probe = func(m members.Message) members.Message { return m }
	address, err := s.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Run(ctx)
	return address
}

// probe probes a server with the TLS settings of a connection, nil for no TLS.
func probe(t *testing.T, address string, config func() (*tls.Config, error)) error {
	t.Helper()
	c := &Client{Address: func(string) string { return address }, TLS: config, Logger: log.Nop()}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := c.Probe(ctx, "e", members.Message{})
	return err
}

func TestOnlyEntriesAreAccepted(t *testing.T) {
	good, other := newAuthority(t), newAuthority(t)
	address := serve(t, source(t, good.issue(t, t.TempDir())).Server())
	assert.NilError(t, probe(t, address, source(t, good.issue(t, t.TempDir())).Client))
	assert.Assert(t, probe(t, address, source(t, other.issue(t, t.TempDir())).Client) != nil, "a certificate of another authority was accepted")
	assert.Assert(t, probe(t, address, nil) != nil, "a connection without TLS was accepted")
	assert.Assert(t, probe(t, address, func() (*tls.Config, error) {
		config, err := source(t, good.issue(t, t.TempDir())).Client()
		config.Certificates = nil
		return config, err
	}) != nil, "a peer without a certificate was accepted")
}

func TestKeysAreRenewedWithoutRestart(t *testing.T) {
	old, fresh := newAuthority(t), newAuthority(t)
	serverDir, clientDir := t.TempDir(), t.TempDir()
	server, client := source(t, old.issue(t, serverDir)), source(t, old.issue(t, clientDir))
	address := serve(t, server.Server())
	assert.NilError(t, probe(t, address, client.Client))
	later := time.Now().Add(time.Minute)
	for _, dir := range []string{serverDir, clientDir} {
		files := fresh.issue(t, dir)
		for _, name := range []string{files.Certificate, files.Key, files.Authority} {
			assert.NilError(t, os.Chtimes(name, later, later))
		}
	}
	assert.NilError(t, probe(t, address, client.Client))
	assert.Assert(t, probe(t, address, source(t, old.issue(t, t.TempDir())).Client) != nil, "the previous authority is still trusted")
	// Unusable files leave the previous ones in force.
	assert.NilError(t, os.WriteFile(filepath.Join(serverDir, "cert.pem"), []byte("broken"), 0o600))
	assert.NilError(t, probe(t, address, client.Client))
}
