package rule

import (
	"fmt"
	"net/url"
	"strings"
	"unicode"
	"unicode/utf8"
)

// EncodeName returns any text as the value of a field in the rules of a directory: letters,
// digits, -, _ and . remain, and every other byte becomes %XX.
func EncodeName(name string) string {
	return encode(name, "")
}

// encode returns a text in which bytes other than those of letters, digits, -, _, . and the
// characters to keep are replaced by %XX.
func encode(text, keep string) string {
	if isPlainText(text, keep) {
		return text
	}
	var b strings.Builder
	for at, c := range text {
		n := max(utf8.RuneLen(c), 1)
		if c == utf8.RuneError {
			_, n = utf8.DecodeRuneInString(text[at:])
		}
		if isPlainRune(c) || strings.ContainsRune(keep, c) {
			b.WriteString(text[at : at+n])
			continue
		}
		for i := range n {
			_, _ = fmt.Fprintf(&b, "%%%02X", text[at+i])
		}
	}
	return b.String()
}

// isPlainText reports whether encode keeps all bytes of a text, which are ASCII.
func isPlainText(text, keep string) bool {
	for i := range len(text) {
		c := text[i]
		if c >= utf8.RuneSelf || !isPlainRune(rune(c)) && strings.IndexByte(keep, c) < 0 {
			return false
		}
	}
	return true
}

// isPlainRune reports whether a character stands for itself in an encoded text.
func isPlainRune(c rune) bool {
	return isNameRune(c) && c != utf8.RuneError || c == '-' || c == '.'
}

// decodeName returns the text that EncodeName has encoded. It returns false for any other
// value, so that each text has one encoding.
func decodeName(value string) (string, bool) {
	return decode(value, "")
}

func decode(value, keep string) (string, bool) {
	text, err := url.PathUnescape(value)
	return text, err == nil && encode(text, keep) == value
}

// EncodePrefix returns the fields of a rule of a directory that matches the paths that begin
// with a prefix. The prefix begins and ends with a slash.
func EncodePrefix(prefix string) string {
	if pattern := prefix + "*"; isPlainPath(pattern) {
		return "Path=" + pattern
	}
	return "Prefix=" + encode(prefix, "/")
}

// isPlainPath reports whether a path can stand in a field as it is.
func isPlainPath(path string) bool {
	special := func(c rune) bool { return unicode.IsSpace(c) || isForbiddenRune(c) || c == '#' || c == '{' }
	return utf8.ValidString(path) && !strings.ContainsFunc(path, special) && checkPath(path).Text == ""
}
