package bodyreader

import (
	"io"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// segmentBytes is the size in bytes of a part of a body of unknown length, enough for most requests.
const segmentBytes = 16 << 10

// ErrOverBudget is the error of a body for which the bodies of all clients leave no room.
const ErrOverBudget = errors.ConstError("too many bodies are being read")

// Reservation is what one request holds of the limit on bodies, in bytes. It belongs to the goroutine of the request.
type Reservation struct {
	limiter almondcross.Limiter // limiter is nil without a limit.
	held    int64
}

// NewReservation returns a reservation of nothing. The caller releases it once the request needs no memory for its body.
func NewReservation(limiter almondcross.Limiter) *Reservation { return &Reservation{limiter: limiter} }

// Take reserves bytes before they are allocated, or returns ErrOverBudget.
func (reservation *Reservation) Take(bytes int64) error {
	if reservation.limiter != nil && !reservation.limiter.Take(reservation.held, bytes) {
		return errors.Trace(ErrOverBudget)
	}
	reservation.held += bytes
	return nil
}

// giveBack returns bytes that are no longer used.
func (reservation *Reservation) giveBack(bytes int64) {
	reservation.held -= bytes
	if reservation.limiter != nil {
		reservation.limiter.Return(bytes)
	}
}

// Release returns all bytes.
func (reservation *Reservation) Release() { reservation.giveBack(reservation.held) }

// ReadAll reads the body of a request. It returns ErrOverBudget if there is no room for it, and a *http.MaxBytesError if it has more
// than limit bytes.
func ReadAll(writer http.ResponseWriter, request *http.Request, limit int64, reserved *Reservation) ([]byte, error) {
	body := http.MaxBytesReader(writer, request.Body, limit)
	switch announced := request.ContentLength; {
	case announced > limit:
		writer.Header().Set("Connection", "close")
		return nil, errors.Annotatef(&http.MaxBytesError{Limit: limit}, "%d bytes, more than %d", announced, limit)
	case announced >= 0:
		if err := reserved.Take(announced); err != nil {
			return nil, err
		}
		buffer := make([]byte, announced)
		_, err := io.ReadFull(body, buffer)
		return buffer, errors.Trace(err)
	default:
		return readChunks(body, reserved)
	}
}

// segment is a part of a body of unknown length.
type segment [segmentBytes]byte

// segments holds unused segments, since buffers that grow with each body would leave several times its size as garbage.
var segments = sync.Pool{New: func() any { return new(segment) }}

// readChunks reads a body of unknown length in segments, each of which is reserved first, and joins them once it has ended.
func readChunks(body io.Reader, reserved *Reservation) ([]byte, error) {
	var filled []*segment
	defer func() {
		for _, used := range filled {
			segments.Put(used)
		}
	}()
	length, ended := 0, false
	for !ended {
		if err := reserved.Take(segmentBytes); err != nil {
			return nil, err
		}
		next, _ := segments.Get().(*segment)
		filled = append(filled, next)
		count, err := fill(body, next)
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, errors.Trace(err)
		}
		length, ended = length+count, err != nil
	}
	if err := reserved.Take(int64(length)); err != nil {
		return nil, err
	}
	joined := make([]byte, 0, length)
	for _, used := range filled {
		joined = append(joined, used[:min(segmentBytes, length-len(joined))]...)
	}
	reserved.giveBack(int64(len(filled)) * segmentBytes)
	return joined, nil
}

// fill reads until the segment is full or the body ends. Other than io.ReadFull, it tells the end of the body, io.EOF, from a
// body that was cut off.
func fill(body io.Reader, next *segment) (int, error) {
	length := 0
	for length < segmentBytes {
		count, err := body.Read(next[length:])
		length += count
		if err != nil {
			return length, err
		}
	}
	return length, nil
}
