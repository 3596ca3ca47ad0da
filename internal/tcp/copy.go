package tcp

import (
	"io"

	"github.com/cockroachdb/errors"
)

// CopyBufferBytes is what is held of the bytes that are copied, and the most that is written at once.
const CopyBufferBytes = 16 << 10

// Copy copies with one small buffer, no faster than dst takes the bytes, until either side fails; both errors are nil at the regular end of src. onFirst, if
// set, is called once before the first bytes are written.
func Copy(dst io.Writer, src io.Reader, onFirst func()) (readErr, writeErr error) {
	buffer := make([]byte, CopyBufferBytes)
	for {
		n, err := src.Read(buffer)
		if n > 0 && onFirst != nil {
			onFirst()
			onFirst = nil
		}
		if n > 0 {
			if _, writeErr = dst.Write(buffer[:n]); writeErr != nil {
				return nil, errors.Newf("write copy: %w", writeErr)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return errors.Newf("read original: %w", err), nil
		}
	}
}
