package settings

import (
	"crypto/ed25519"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1.
func writeCertificate(t *testing.T) TLSFiles {
	t.Helper()
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "instance"},
		NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	cert, err := x509.CreateCertificate(nil, template, template, key.Public(), key)
	assert.NilError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	write := func(name, kind string, data []byte) string {
		file := filepath.Join(t.TempDir(), name)
		assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
		return file
	}
	certFile := write("cert.pem", "CERTIFICATE", cert)
	return TLSFiles{Cert: certFile, Key: write("key.pem", "PRIVATE KEY", private), CA: certFile}
}

func handshake(t *testing.T, server, client TLSFiles) error {
	t.Helper()
	serverConfig, err := server.ServerConfig()
	assert.NilError(t, err)
	clientConfig, err := client.ClientConfig()
	assert.NilError(t, err)
	clientConfig.ServerName = "127.0.0.1"
	clientConn, serverConn := net.Pipe()
	defer clientConn.Close()
	go func() { _ = tls.Client(clientConn, clientConfig).Handshake() }()
	defer serverConn.Close()
	return tls.Server(serverConn, serverConfig).Handshake()
}

// Guards against a peer listener that accepts peers without a certificate.
func TestMutualTLS(t *testing.T) {
	files := writeCertificate(t)
	assert.NilError(t, handshake(t, files, files))
	assert.ErrorContains(t, handshake(t, files, TLSFiles{CA: files.CA}), "didn't provide a certificate")
}
