package tunnel

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/cockroachdb/errors"
)

const (
	// headerFraming is set to framingChunked by a host that wants to know how the server's bytes end, and in
	// the response by one that states it: these bytes are then sent in chunks (RFC 9112, section 7.1), and the last
	// chunk follows only if the server has closed its connection. Without it, the end of the carrying process,
	// whose connections the kernel closes, would pass for that of the response.
	headerFraming  = "Fennelyard-Tunnel-Framing"
	framingChunked = "chunked"
	// chunkOverheadBytes is the room for the size line of a chunk and the line break behind it.
	chunkOverheadBytes = 32
)

// errUnstatedEnd is returned at the end of a connection to a host that does not state how the server's
// bytes end.
var errUnstatedEnd = errors.New("the tunnel ended, and its host does not state how")

// chunkWriter sends bytes in chunks, each as it comes.
type chunkWriter struct {
	buffer *bufio.Writer
	chunks io.WriteCloser
}

// newChunkWriter returns a writer of chunks of up to size bytes.
func newChunkWriter(conn io.Writer, size int) *chunkWriter {
	buffer := bufio.NewWriterSize(conn, size+chunkOverheadBytes)
	return &chunkWriter{buffer, httputil.NewChunkedWriter(buffer)}
}

// Write implements io.Writer.
func (w *chunkWriter) Write(p []byte) (int, error) {
	n, err := w.chunks.Write(p)
	if err == nil {
		err = w.buffer.Flush()
	}
	if err != nil {
		return n, errors.Newf("write chunk: %w", err)
	}
	return n, nil
}

// end sends the last chunk.
func (w *chunkWriter) end() error {
	err := w.chunks.Close()
	if err == nil {
		_, err = w.buffer.WriteString("\r\n")
	}
	if err == nil {
		err = w.buffer.Flush()
	}
	if err != nil {
		return errors.Newf("write last chunk: %w", err)
	}
	return nil
}

// unstatedEndReader reads the bytes of a host that does not state how they end: none of its ends is a regular one.
type unstatedEndReader struct{ in io.Reader }

// Read implements io.Reader.
func (r unstatedEndReader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p)
	if errors.Is(err, io.EOF) {
		err = errUnstatedEnd
	}
	return n, err
}
