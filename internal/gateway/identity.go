package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/resource"
)

// identity holds the program, sequence number and options of a call from the request's headers.
type identity struct {
	key            program.Key
	root           string
	sequence       uint64
	idempotencyKey string
	ephemeral      bool
	ownTokens      int64
	deltaHistory   bool
	// repeatable is nil if the header is missing.
	repeatable *bool
}

// programPattern does not match program.EphemeralPrefix.
var programPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]+(/[A-Za-z0-9._:-]+)*$`)

func readIdentity(r *http.Request, tenant string) (identity, error) {
	var result identity
	path, err := programPath(r.Header.Get(HeaderProgram), r.Header.Get(HeaderParent))
	if err != nil {
		return result, err
	}
	result.idempotencyKey = r.Header.Get(HeaderIdempotency)
	if len(result.idempotencyKey) > maxIdentifierBytes {
		return result, apierr.New(apierr.InvalidRequest, apierr.NotRun, "the idempotency key is over %d bytes", maxIdentifierBytes).WithField(HeaderIdempotency)
	}
	if path == "" {
		result.ephemeral = true
		path = ephemeralPath(result.idempotencyKey)
	}
	result.key = program.Key{Tenant: tenant, Path: path}
	result.root, _, _ = strings.Cut(path, "/")
	if result.sequence, err = readNumber(r, HeaderSequence); err != nil {
		return result, err
	}
	budget, err := readNumber(r, HeaderTokenBudget)
	if err != nil {
		return result, err
	}
	result.ownTokens = int64(budget)
	result.repeatable, err = readBool(r, HeaderRepeatable)
	if err != nil {
		return result, err
	}
	result.deltaHistory = r.Header.Get(HeaderHistory) == historyDelta
	return result, nil
}

// programPath returns the path of a program from its name and its parent's path. It is empty if both are empty.
func programPath(name, parent string) (string, error) {
	if name == "" && parent != "" {
		return "", apierr.New(apierr.InvalidRequest, apierr.NotRun, "a sub-agent needs its own program name").WithField(HeaderProgram)
	}
	if name == "" {
		return "", nil
	}
	if parent != "" && !strings.HasPrefix(name, parent+"/") {
		name = parent + "/" + name
	}
	if len(name) > maxIdentifierBytes || strings.Count(name, "/") >= maxProgramDepth || !programPattern.MatchString(name) {
		return "", apierr.New(apierr.InvalidRequest, apierr.NotRun,
			"a program's name has at most %d bytes of letters, digits, '.', '_', ':' and '-', and at most %d parts separated by '/'",
			maxIdentifierBytes, maxProgramDepth).WithField(HeaderProgram)
	}
	return name, nil
}

// ephemeralPath returns the program path of a call without a program. Repeats with the same idempotency key get the same path.
func ephemeralPath(idempotencyKey string) string {
	if idempotencyKey == "" {
		return program.EphemeralPrefix + newCallID()
	}
	sum := sha256.Sum256([]byte(idempotencyKey))
	return program.EphemeralPrefix + hex.EncodeToString(sum[:16])
}

// readNumber returns a header with a positive integer, or 0 if the header is missing.
func readNumber(r *http.Request, name string) (uint64, error) {
	text := r.Header.Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 62)
	if err != nil || number == 0 {
		return 0, apierr.New(apierr.InvalidRequest, apierr.NotRun, "%q is not a whole number above 0", text).WithField(name)
	}
	return number, nil
}

func readBool(r *http.Request, name string) (*bool, error) {
	text := r.Header.Get(name)
	if text == "" {
		return nil, nil
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		return nil, apierr.New(apierr.InvalidRequest, apierr.NotRun, "%q is not true or false", text).WithField(name)
	}
	return &value, nil
}

// limits returns the limits of the program if the call creates it.
func (i identity) limits(tenant *resource.Tenant) program.Limits {
	limits := program.Limits{
		TokenBudget: tenant.ProgramTokenBudget,
		CallBudget:  tenant.ProgramCallBudget,
		IdleMillis:  tenant.ProgramIdleSeconds * 1000,
		MaxMillis:   tenant.ProgramMaxSeconds * 1000,
	}
	if i.ephemeral {
		limits.IdleMillis = min(limits.IdleMillis, ephemeralIdleMillis)
	}
	return limits
}

func bodyHash(parts ...[]byte) string {
	digest := sha256.New()
	for _, part := range parts {
		digest.Write(part)
		digest.Write([]byte{0})
	}
	return hex.EncodeToString(digest.Sum(nil))
}
