package cli

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
)

const (
	privateMode = 0o600
	publicMode  = 0o644
)

// readFile reads a file of at most the size of an envelope.
func readFile(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if info.Size() > bundle.MaxEnvelopeBytes {
		return nil, eris.Errorf("%s has %d bytes; the largest is %d", file, info.Size(), bundle.MaxEnvelopeBytes)
	}
	return os.ReadFile(file)
}

// createPrivate writes a new file that only its owner can read. It never
// replaces a key, which can't be recovered.
func createPrivate(file string, data []byte) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, privateMode)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	return errors.Join(err, f.Close())
}

// replaceFile writes a file in one step, so that nobody reads half of it.
func replaceFile(file string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(file), ".sycamorelift-*")
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Chmod(publicMode), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), file)
	}
	if err != nil {
		return errors.Join(err, os.Remove(f.Name()))
	}
	return nil
}

// readEnvelope reads a published bundle; the result is nil when there is none.
func readEnvelope(file string) (*bundle.Envelope, error) {
	data, err := readFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return bundle.ReadEnvelope(file, data)
}
