package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// TLSFiles names PEM files. The zero value stands for cleartext.
type TLSFiles struct {
	Cert string // certificate chain
	Key  string // private key of Cert
	CA   string // certificates that the other side's must come from
}

type fileNeeds struct{ certificate, ca bool }

// Enabled reports whether the connections use TLS.
func (f TLSFiles) Enabled() bool { return f != TLSFiles{} }

func (f *TLSFiles) read(v yamldoc.Value, directory string, needs fileNeeds) {
	if !v.Present() {
		return
	}
	o := v.Object()
	field := func(key string, needed bool) yamldoc.Value {
		if needed {
			return o.Required(key)
		}
		return o.Optional(key)
	}
	cert, key := field("cert", needs.certificate), field("key", needs.certificate)
	ca := field("ca", needs.ca)
	o.Close()
	readPath(cert, &f.Cert, directory)
	readPath(key, &f.Key, directory)
	readPath(ca, &f.CA, directory)
	if !needs.certificate && cert.Present() != key.Present() {
		v.Fail("cert and key are only useful together")
	}
	f.check(cert, ca)
}

// check reports files that can't be used now, so that the daemon's check of
// its settings finds them before a restart does.
func (f *TLSFiles) check(cert, ca yamldoc.Value) {
	if f.Cert != "" && f.Key != "" {
		if _, err := f.certificates(); err != nil {
			cert.Fail("%v", err)
		}
	}
	if f.CA != "" {
		if _, err := f.pool(); err != nil {
			ca.Fail("%v", err)
		}
	}
}

// ServerConfig returns the TLS configuration of a listener. Clients must show
// a certificate when there is a CA file.
func (f TLSFiles) ServerConfig() (*tls.Config, error) {
	c, err := f.certificates()
	if err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: c}
	if f.CA == "" {
		return config, nil
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs, err = f.pool()
	return config, err
}

// ClientConfig returns the TLS configuration of outgoing connections. It shows
// a certificate when there is a certificate file.
func (f TLSFiles) ClientConfig() (*tls.Config, error) {
	pool, err := f.pool()
	if err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}
	if f.Cert == "" {
		return config, nil
	}
	config.Certificates, err = f.certificates()
	return config, err
}

func (f TLSFiles) certificates() ([]tls.Certificate, error) {
	certificate, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, eris.Wrap(err, "load certificate and key")
	}
	return []tls.Certificate{certificate}, nil
}

func (f TLSFiles) pool() (*x509.CertPool, error) {
	data, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, eris.Wrap(err, "read CA certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, eris.Errorf("%s holds no certificate", f.CA)
	}
	return pool, nil
}
