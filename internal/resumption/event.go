package resumption

import "bytes"

// CompleteSize returns the length of the complete events at the start of text.
func CompleteSize(text []byte) int {
	end := 0
	for _, delimiter := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(text, delimiter); i >= 0 {
			end = max(end, i+len(delimiter))
		}
	}
	return end
}

// event is what matters of one event of a stream.
type event struct {
	// size is the length of the event in bytes, with the blank line that ends it.
	size int
	// id is the last id field, and ids the number of them.
	id  string
	ids int
	// data means that there is a data field, and dataSplit that other fields stand between two
	// data fields: the blank line between two events was lost.
	data, dataSplit bool
}

// parseEvent parses the event at the start of text. The last event of text may lack its blank
// line.
func parseEvent(text []byte) event {
	var e event
	inData := false
	for e.size < len(text) {
		line, length := nextLine(text[e.size:])
		e.size += length
		if len(line) == 0 {
			break
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		isData := string(name) == "data"
		e.dataSplit = e.dataSplit || isData && e.data && !inData
		e.data, inData = e.data || isData, isData
		if string(name) == "id" {
			e.id = string(bytes.TrimPrefix(value, []byte(" ")))
			e.ids++
		}
	}
	return e
}

// nextLine returns the first line of text without its line end, and its length with it.
func nextLine(text []byte) (line []byte, length int) {
	end := bytes.IndexByte(text, '\n')
	if end < 0 {
		return text, len(text)
	}
	return bytes.TrimSuffix(text[:end], []byte("\r")), end + 1
}
