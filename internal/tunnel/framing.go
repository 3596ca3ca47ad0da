package tunnel

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/tcp"
)

const (
	// headerFraming is set to framingChunked by a host that wants to know how the server's bytes end, and in
	// the response by one that states it: these bytes are then sent in chunks (RFC 9112, section 7.1), and the last
	// chunk follows only if the server has closed its connection. Without it, the end of the carrying process,
	// whose connections the kernel closes, would pass for that of the response.
	headerFraming  = "Fennelyard-Tunnel-Framing"
	framingChunked = "chunked"
	// notForwardedTrailer follows the last chunk if nothing of the request was forwarded to the server.
	notForwardedTrailer = "Fennelyard-Not-Forwarded: true\r\n"
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
func (w *chunkWriter) end() error { return w.endWith("") }

// endNotForwarded sends the last chunk, and states that nothing of the request was forwarded.
func (w *chunkWriter) endNotForwarded() error { return w.endWith(notForwardedTrailer) }

func (w *chunkWriter) endWith(trailer string) error {
	err := w.chunks.Close()
	if err == nil {
		_, err = w.buffer.WriteString(trailer + "\r\n")
	}
	if err == nil {
		err = w.buffer.Flush()
	}
	if err != nil {
		return errors.Newf("write last chunk: %w", err)
	}
	return nil
}

// chunkReader reads what a chunkWriter has sent. Its end is tcp.ErrNotForwarded if the writer has stated that and sent
// nothing else.
type chunkReader struct {
	buffer *bufio.Reader
	chunks io.Reader
	// received is set once a byte was read, and err the error with which the bytes have ended.
	received bool
	err      error
}

func newChunkReader(in io.Reader) *chunkReader {
	buffer := bufio.NewReader(in)
	return &chunkReader{buffer: buffer, chunks: httputil.NewChunkedReader(buffer)}
}

// Read implements io.Reader.
func (r *chunkReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.chunks.Read(p)
	r.received = r.received || n > 0
	if errors.Is(err, io.EOF) {
		err = r.end()
	}
	r.err = err
	return n, err
}

// end returns the error for the end of the last chunk.
func (r *chunkReader) end() error {
	// What can't be read is no statement: the last chunk alone proves the end.
	line, _ := r.buffer.ReadSlice('\n')
	switch {
	case string(line) != notForwardedTrailer:
		return io.EOF
	case r.received:
		return errUnstatedEnd
	}
	return tcp.ErrNotForwarded
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
