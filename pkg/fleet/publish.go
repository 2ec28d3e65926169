package fleet

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// PublishBundle publishes the next version of the bundle.
func (f *Fleet) PublishBundle() error { return f.PublishRivals(1) }

// PublishRivals publishes a number of different bundles with the same, next
// version, as operators do who don't know of each other.
func (f *Fleet) PublishRivals(count int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for rival := range count {
		if err := f.publish(f.version+1, rival); err != nil {
			return err
		}
	}
	f.version++
	f.Audit.Bundles.Published(f.version, time.Now())
	return nil
}

// publish publishes one bundle. A comment makes rivals differ.
func (f *Fleet) publish(version int64, rival int) error {
	text, err := BundleText(f.Deployment.Spec, version)
	if err != nil {
		return eris.Wrap(err, "bundle")
	}
	if rival > 0 {
		text = fmt.Appendf(text, "# rival %d\n", rival)
	}
	signed, err := f.author.Publish(text)
	if err != nil {
		return eris.Wrap(err, "sign bundle")
	}
	_, err = f.Deployment.PublishBundle(signed)
	return err
}

// BundleVersion returns the version of the newest bundle.
func (f *Fleet) BundleVersion() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}
