package mesh

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pollentack.example/pollentack/internal/core/release"
	"pollentack.example/pollentack/internal/settings"
)

// security holds the certificates of the mesh and reloads them when a file changes. Without
// certificates only loopback addresses are used.
type security struct {
	// insecure allows plaintext links to addresses that are not on loopback.
	insecure bool
	paths    settings.Mesh
	log      zerolog.Logger

	mu       sync.Mutex
	versions [3]fileVersion
	current  *credentials
}

// credentials are the parsed contents of the three files.
type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// fileVersion distinguishes versions of a file by size and modification time.
type fileVersion struct {
	size     int64
	modified time.Time
}

func newSecurity(files *settings.Mesh, listen string, log zerolog.Logger) (*security, error) {
	s := &security{paths: *files, log: log}
	if files.CertificateFile == "" && files.KeyFile == "" && files.AuthorityFile == "" {
		if !isLoopback(listen) {
			return nil, fmt.Errorf("mesh address %s is not on loopback: [mesh] certificate, key and authority are required", listen)
		}
		return s, nil
	}
	versions, err := s.statFiles()
	if err != nil {
		return nil, err
	}
	if s.current, err = s.load(); err != nil {
		return nil, err
	}
	s.versions = versions
	return s, nil
}

// isLoopback reports whether address is an IP address and port on loopback. It is false for
// a host name.
func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}

func (s *security) statFiles() ([3]fileVersion, error) {
	var versions [3]fileVersion
	for i, path := range []string{s.paths.CertificateFile, s.paths.KeyFile, s.paths.AuthorityFile} {
		info, err := os.Stat(path)
		if err != nil {
			return versions, fmt.Errorf("[mesh] certificate, key and authority must all be readable: %w", err)
		}
		versions[i] = fileVersion{size: info.Size(), modified: info.ModTime()}
	}
	return versions, nil
}

func (s *security) load() (*credentials, error) {
	certificate, err := tls.LoadX509KeyPair(s.paths.CertificateFile, s.paths.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("load [mesh] certificate %s with key %s: %w", s.paths.CertificateFile, s.paths.KeyFile, err)
	}
	pem, err := os.ReadFile(s.paths.AuthorityFile)
	if err != nil {
		return nil, fmt.Errorf("read [mesh] authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("[mesh] authority %s contains no PEM certificate", s.paths.AuthorityFile)
	}
	return &credentials{certificate: certificate, authority: pool}, nil
}

// currentCredentials returns the credentials in the files, reloading them if a file has
// changed. If they cannot be loaded, it logs the error and returns the previous ones. It
// returns nil if no certificates are configured.
func (s *security) currentCredentials() *credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return nil
	}
	versions, err := s.statFiles()
	if err == nil && versions == s.versions {
		return s.current
	}
	var next *credentials
	if err == nil {
		next, err = s.load()
	}
	if err != nil {
		s.log.Error().Str("event", "mesh_certificate_unusable").Err(err).Send()
		return s.current
	}
	s.current, s.versions = next, versions
	s.log.Info().Str("event", "mesh_certificate_loaded").Str("file", s.paths.CertificateFile).Send()
	return next
}

var errInsecure = errors.New("peer is not on loopback and no [mesh] certificate is set")

// clientConfig returns the TLS configuration for dialing a host, nil for a plaintext link.
// It returns errInsecure for a plaintext link to a host that is not on loopback, unless the
// mesh is insecure.
func (s *security) clientConfig(host release.Host) (*tls.Config, error) {
	creds := s.currentCredentials()
	if creds == nil {
		if !s.insecure && !isLoopback(host.MeshAddress) {
			return nil, fmt.Errorf("host %q at %s: %w", host.Name, host.MeshAddress, errInsecure)
		}
		return nil, nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{creds.certificate},
		RootCAs:      creds.authority,
		ServerName:   host.Name,
	}, nil
}

// serverConfig returns the TLS configuration for accepted links, nil for plaintext links.
func (s *security) serverConfig() *tls.Config {
	if s.currentCredentials() == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := s.currentCredentials()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{creds.certificate},
				ClientCAs:    creds.authority,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				// A resumed session would not be verified against a changed authority.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// certificateMatches reports whether the certificate of the peer is valid for host. It is
// always true on a plaintext link, which has no certificates.
func certificateMatches(conn net.Conn, host string) bool {
	c, ok := conn.(*tls.Conn)
	if !ok {
		return true
	}
	certificates := c.ConnectionState().PeerCertificates
	return len(certificates) > 0 && certificates[0].VerifyHostname(host) == nil
}
