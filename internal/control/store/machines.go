package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"mustardsaddle.example/mustardsaddle"
)

var errNoArray = errors.New("split list: got no complete array")

// decodeMachines decodes a list of VMs. An entry that names no VM that can be used is
// skipped with an error, and has no effect on the others.
func decodeMachines(body []byte) (machines []mustardsaddle.Machine, skipped []error, err error) {
	entries, err := splitArray(body)
	if err != nil {
		return nil, nil, err
	}
	machines = make([]mustardsaddle.Machine, 0, len(entries))
	for i, entry := range entries {
		var m mustardsaddle.Machine
		err := json.Unmarshal(entry, &m)
		if err == nil {
			err = m.Check()
		}
		if err == nil {
			err = mustardsaddle.CheckAddress(m.Address)
		}
		if err != nil {
			skipped = append(skipped, fmt.Errorf("read entry %d of the list: %w", i, err))
			continue
		}
		machines = append(machines, m)
	}
	return machines, skipped, nil
}

// splitArray returns the elements of an encoded array, which may be nested so deep that they
// cannot be decoded.
func splitArray(body []byte) ([]json.RawMessage, error) {
	body = bytes.TrimSpace(body)
	if len(body) < 2 || body[0] != '[' || body[len(body)-1] != ']' {
		return nil, errNoArray
	}
	var elements []json.RawMessage
	body = body[1 : len(body)-1]
	begin, depth := 0, 0
	for i := 0; i < len(body); i++ {
		switch body[i] {
		case '"':
			i = endOfText(body, i)
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		case ',':
			if depth == 0 {
				elements = append(elements, json.RawMessage(body[begin:i]))
				begin = i + 1
			}
		}
		if depth < 0 {
			return nil, errNoArray
		}
	}
	if depth != 0 {
		return nil, errNoArray
	}
	if begin > 0 || len(bytes.TrimSpace(body)) > 0 {
		elements = append(elements, json.RawMessage(body[begin:]))
	}
	return elements, nil
}

// endOfText returns the index of the quote that ends the text that begins at the index.
func endOfText(body []byte, begin int) int {
	for i := begin + 1; i < len(body); i++ {
		switch body[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(body)
}
