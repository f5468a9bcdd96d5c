// Package keys creates and loads the certificates for mutual TLS between nodes. A certificate names its
// cluster as its organization; peers of another cluster are rejected even if the same authority signed their
// certificate.
package keys

import (
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
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// File names in a folder of keys and certificates.
const (
	AuthorityFile    = "authority.pem"
	AuthorityKeyFile = "authority-key.pem"
	nodeSuffix       = ".pem"
	nodeKeySuffix    = "-key.pem"

	authorityValidity = 10 * 365 * 24 * time.Hour
	// NodeValidity is how long a node's certificate is valid.
	NodeValidity = 90 * 24 * time.Hour
	// clockSkew backdates certificates for nodes whose clocks are behind.
	clockSkew        = time.Hour
	serialBits       = 127
	certificateBlock = "CERTIFICATE"
	privateKeyBlock  = "PRIVATE KEY"
	publicFileMode   = 0o644
	privateFileMode  = 0o600
	folderMode       = 0o700
	reloadInterval   = 10 * time.Second
)

// ErrBadFile means that a file has no usable key or certificate, or must not be replaced.
type ErrBadFile struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *ErrBadFile) Error() string { return e.Path + ": " + e.Reason }

// ErrWrongCluster means that a peer has no certificate of the expected cluster.
type ErrWrongCluster struct{ Cluster string }

// Error implements error.
func (e *ErrWrongCluster) Error() string {
	return "the peer has no certificate of cluster " + e.Cluster
}

func newSerial() (*big.Int, error) {
	return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
}

func newTemplate(cluster, name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := newSerial()
	if err != nil {
		return nil, errors.Wrap(err, "generating a serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{Organization: []string{cluster}, CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

// CreateAuthority creates a certificate authority for a cluster and writes it into folder. It fails if the
// folder already has one.
func CreateAuthority(folder, cluster string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "creating the folder")
	}
	if _, err := os.Stat(filepath.Join(folder, AuthorityKeyFile)); err == nil {
		return &ErrBadFile{Path: filepath.Join(folder, AuthorityKeyFile), Reason: "already exists"}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generating a key")
	}
	authority, err := newTemplate(cluster, "authority", authorityValidity)
	if err != nil {
		return err
	}
	authority.IsCA, authority.BasicConstraintsValid = true, true
	authority.KeyUsage = x509.KeyUsageCertSign
	encoded, err := x509.CreateCertificate(rand.Reader, authority, authority, key.Public(), key)
	if err != nil {
		return errors.Wrap(err, "signing the authority's certificate")
	}
	return writePair(filepath.Join(folder, AuthorityFile), filepath.Join(folder, AuthorityKeyFile), encoded, key)
}

func writePair(certificatePath, keyPath string, encoded []byte, key *ecdsa.PrivateKey) error {
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encoding a key")
	}
	if err := os.WriteFile(keyPath, pem.EncodeToMemory(&pem.Block{Type: privateKeyBlock, Bytes: encodedKey}), privateFileMode); err != nil {
		return errors.Wrap(err, "writing a key")
	}
	return errors.Wrap(os.WriteFile(certificatePath, pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: encoded}), publicFileMode), "writing a certificate")
}

// CreateNodeCertificate writes a node's key and its certificate, signed by the authority in folder, into folder.
func CreateNodeCertificate(folder, name string, validity time.Duration) error {
	pair, err := tls.LoadX509KeyPair(filepath.Join(folder, AuthorityFile), filepath.Join(folder, AuthorityKeyFile))
	if err != nil {
		return errors.Wrap(err, "loading the authority")
	}
	authority, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return errors.Wrap(err, "parsing the authority's certificate")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generating a key")
	}
	node, err := newTemplate(authority.Subject.Organization[0], name, validity)
	if err != nil {
		return err
	}
	node.KeyUsage = x509.KeyUsageDigitalSignature
	node.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	encoded, err := x509.CreateCertificate(rand.Reader, node, authority, key.Public(), pair.PrivateKey)
	if err != nil {
		return errors.Wrap(err, "signing the node's certificate")
	}
	return writePair(filepath.Join(folder, name+nodeSuffix), filepath.Join(folder, name+nodeKeySuffix), encoded, key)
}

// Files are the paths of the files that a node needs for mutual TLS.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

// Source provides TLS configurations whose certificates are reloaded when the files change. To rotate an
// authority, the authority file can contain both the old and the new one.
type Source struct {
	files   Files
	cluster string

	mutex   sync.RWMutex
	pair    *tls.Certificate
	trusted *x509.CertPool
	// modified is the newest modification time of the loaded files; checked is the time of the latest comparison with it.
	modified time.Time
	checked  time.Time
}

// NewSource returns a Source with the certificates in files.
func NewSource(files Files, cluster string) (*Source, error) {
	source := &Source{files: files, cluster: cluster}
	return source, source.load()
}

func (s *Source) load() error {
	pair, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return errors.Wrap(err, "loading the node's certificate")
	}
	authority, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return errors.Wrap(err, "loading the authority")
	}
	trusted := x509.NewCertPool()
	if !trusted.AppendCertsFromPEM(authority) {
		return &ErrBadFile{Path: s.files.Authority, Reason: "holds no certificate"}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pair, s.trusted, s.modified, s.checked = &pair, trusted, s.lastModified(), time.Now()
	return nil
}

// lastModified returns the newest modification time of the files.
func (s *Source) lastModified() time.Time {
	var latest time.Time
	for _, path := range []string{s.files.Authority, s.files.Certificate, s.files.Key} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// Reload loads the files if they have changed and reports whether they had.
func (s *Source) Reload() (bool, error) {
	s.mutex.RLock()
	modified := s.modified
	s.mutex.RUnlock()
	if s.lastModified().Equal(modified) {
		return false, nil
	}
	return true, s.load()
}

func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mutex.RLock()
	due := time.Since(s.checked) > reloadInterval
	s.mutex.RUnlock()
	if due {
		s.mutex.Lock()
		s.checked = time.Now()
		s.mutex.Unlock()
		// If a file is only half written, the old certificates stay in use until a later check.
		_, _ = s.Reload()
	}
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.pair, s.trusted
}

// ServerConfig returns the TLS configuration for accepting connections from nodes.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, trusted := s.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS13,
				// A resumed session would skip VerifyPeerCertificate, which checks the cluster.
				SessionTicketsDisabled: true,
				Certificates:           []tls.Certificate{*pair},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              trusted,
				VerifyPeerCertificate:  s.verifyCluster,
			}, nil
		},
	}
}

// ClientConfig returns the TLS configuration for connecting to nodes. Nodes are known by address and not
// by name, so it verifies the chain and the cluster but not the host name.
func (s *Source) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyPeerCertificate verifies the chain instead.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := s.current()
			return pair, nil
		},
		VerifyPeerCertificate: s.verifyChain,
	}
}

// verifyChain verifies a server's certificate like a TLS client, except for the host name.
func (s *Source) verifyChain(raw [][]byte, chains [][]*x509.Certificate) error {
	_, trusted := s.current()
	if len(raw) == 0 {
		return &ErrWrongCluster{Cluster: s.cluster}
	}
	leaf, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return errors.Wrap(err, "parsing the peer's certificate")
	}
	if _, err := leaf.Verify(x509.VerifyOptions{Roots: trusted, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}); err != nil {
		return errors.Wrap(err, "verifying the peer's certificate")
	}
	return s.verifyCluster(raw, chains)
}

func (s *Source) verifyCluster(raw [][]byte, _ [][]*x509.Certificate) error {
	leaf, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return errors.Wrap(err, "parsing the peer's certificate")
	}
	if len(leaf.Subject.Organization) != 1 || leaf.Subject.Organization[0] != s.cluster {
		return &ErrWrongCluster{Cluster: s.cluster}
	}
	return nil
}
