// Package keys makes and loads the certificates for mutual TLS between nodes. A certificate names
// its cluster as its organization; a peer of another cluster gets nothing, even from the same
// authority.
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

// File names in a folder of keys.
const (
	AuthorityFile    = "authority.pem"
	AuthorityKeyFile = "authority-key.pem"
	nodeSuffix       = ".pem"
	nodeKeySuffix    = "-key.pem"

	authorityLife = 10 * 365 * 24 * time.Hour
	// NodeValidity is how long a node's certificate is valid.
	NodeValidity = 90 * 24 * time.Hour
	clockLeeway  = time.Hour
	serialBits   = 127
	certificate  = "CERTIFICATE"
	privateKey   = "PRIVATE KEY"
	publicMode   = 0o644
	privateMode  = 0o600
	folderMode   = 0o700
	reloadPeriod = 10 * time.Second
)

// ErrBadFile means that a file holds no usable key or certificate.
type ErrBadFile struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *ErrBadFile) Error() string { return e.Path + ": " + e.Reason }

// ErrWrongCluster means that a peer's certificate is of another cluster.
type ErrWrongCluster struct{ Cluster string }

// Error implements error.
func (e *ErrWrongCluster) Error() string {
	return "the peer's certificate is not of cluster " + e.Cluster
}

func newSerial() (*big.Int, error) {
	return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
}

func template(cluster, name string, life time.Duration) (*x509.Certificate, error) {
	serial, err := newSerial()
	if err != nil {
		return nil, errors.Wrap(err, "drawing a serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{Organization: []string{cluster}, CommonName: name},
		NotBefore:    now.Add(-clockLeeway),
		NotAfter:     now.Add(life),
	}, nil
}

// CreateAuthority writes a new authority for a cluster into folder. It never replaces one.
func CreateAuthority(folder, cluster string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "making the folder")
	}
	if _, err := os.Stat(filepath.Join(folder, AuthorityKeyFile)); err == nil {
		return &ErrBadFile{Path: filepath.Join(folder, AuthorityKeyFile), Reason: "exists already"}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "making a key")
	}
	authority, err := template(cluster, "authority", authorityLife)
	if err != nil {
		return err
	}
	authority.IsCA, authority.BasicConstraintsValid = true, true
	authority.KeyUsage = x509.KeyUsageCertSign
	encoded, err := x509.CreateCertificate(rand.Reader, authority, authority, key.Public(), key)
	if err != nil {
		return errors.Wrap(err, "signing the authority")
	}
	return writePair(filepath.Join(folder, AuthorityFile), filepath.Join(folder, AuthorityKeyFile), encoded, key)
}

func writePair(certificatePath, keyPath string, encoded []byte, key *ecdsa.PrivateKey) error {
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encoding a key")
	}
	if err := os.WriteFile(keyPath, pem.EncodeToMemory(&pem.Block{Type: privateKey, Bytes: encodedKey}), privateMode); err != nil {
		return errors.Wrap(err, "writing a key")
	}
	return errors.Wrap(os.WriteFile(certificatePath, pem.EncodeToMemory(&pem.Block{Type: certificate, Bytes: encoded}), publicMode), "writing a certificate")
}

// CreateNodeCertificate writes a node's certificate and key into folder, signed by the authority there.
func CreateNodeCertificate(folder, name string, life time.Duration) error {
	pair, err := tls.LoadX509KeyPair(filepath.Join(folder, AuthorityFile), filepath.Join(folder, AuthorityKeyFile))
	if err != nil {
		return errors.Wrap(err, "loading the authority")
	}
	authority, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return errors.Wrap(err, "parsing the authority")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "making a key")
	}
	node, err := template(authority.Subject.Organization[0], name, life)
	if err != nil {
		return err
	}
	node.KeyUsage = x509.KeyUsageDigitalSignature
	node.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	encoded, err := x509.CreateCertificate(rand.Reader, node, authority, key.Public(), pair.PrivateKey)
	if err != nil {
		return errors.Wrap(err, "signing the node")
	}
	return writePair(filepath.Join(folder, name+nodeSuffix), filepath.Join(folder, name+nodeKeySuffix), encoded, key)
}

// Files names what a node needs.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

// Source gives TLS the present certificates and reads the files again when they change. Both an
// old and a new authority may stand in the authority file, so that they overlap.
type Source struct {
	files   Files
	cluster string

	mutex   sync.RWMutex
	pair    *tls.Certificate
	trusted *x509.CertPool
	stamp   time.Time
	checked time.Time
}

// NewSource loads the files.
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
	s.pair, s.trusted, s.stamp, s.checked = &pair, trusted, s.newest(), time.Now()
	return nil
}

// newest is the latest change of the files.
func (s *Source) newest() time.Time {
	var latest time.Time
	for _, path := range []string{s.files.Authority, s.files.Certificate, s.files.Key} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// Reload reads the files again if they have changed; it reports whether they were.
func (s *Source) Reload() (bool, error) {
	s.mutex.RLock()
	stamp := s.stamp
	s.mutex.RUnlock()
	if s.newest().Equal(stamp) {
		return false, nil
	}
	return true, s.load()
}

func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mutex.RLock()
	due := time.Since(s.checked) > reloadPeriod
	s.mutex.RUnlock()
	if due {
		s.mutex.Lock()
		s.checked = time.Now()
		s.mutex.Unlock()
		// A half-written file keeps the old certificates in use; the next handshake tries again.
		_, _ = s.Reload()
	}
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.pair, s.trusted
}

// ServerConfig is for accepting connections of nodes.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, trusted := s.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS13,
				// A resumed session would skip the verification of the cluster.
				SessionTicketsDisabled: true,
				Certificates:           []tls.Certificate{*pair},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              trusted,
				VerifyPeerCertificate:  s.verifyCluster,
			}, nil
		},
	}
}

// ClientConfig is for dialling nodes. Nodes are known by address, so that not the name but the
// chain and the cluster are verified.
func (s *Source) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyPeerCertificate verifies the chain.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := s.current()
			return pair, nil
		},
		VerifyPeerCertificate: s.verifyChain,
	}
}

// verifyChain verifies a server's certificate as a client does, but for the host name.
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
