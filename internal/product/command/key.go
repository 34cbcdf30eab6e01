package command

import (
	"fmt"
	"io"
	"strings"

	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

const keyAbout = `Reads a key of a customer from standard input and prints its digest, which is
what the field Keys of the rules holds. The key itself is stored and logged
nowhere. Use random keys of at least 16 characters: a digest does not hide a
key that can be guessed.

Examples:
  mustardsaddle key < key.txt
  head -c 18 /dev/urandom | base64 | tee key.txt | mustardsaddle key`

// maxKeyBytes is the maximum length of a key that an operator gives to a customer.
const maxKeyBytes = 256

type keyCommand struct {
	cfg Config
}

// Execute prints the digest of the key. Its errors do not contain the key.
func (c *keyCommand) Execute(args []string) error {
	if err := NoArguments(args); err != nil {
		return err
	}
	text, err := io.ReadAll(io.LimitReader(c.cfg.In, maxKeyBytes+3))
	if err != nil {
		return StatusErrorf(Failed, "can't read the key: %v", err)
	}
	key := strings.TrimRight(string(text), "\r\n")
	digest, ok := rule.DigestKey(key)
	if !ok || len(key) > maxKeyBytes || strings.ContainsFunc(key, isInvisible) {
		return StatusErrorf(Usage, "got no key on standard input, want one line of up to %d visible ASCII characters", maxKeyBytes)
	}
	_, _ = fmt.Fprintln(c.cfg.Out, digest)
	return nil
}

// isInvisible reports whether a character is none of the visible ones of ASCII.
func isInvisible(c rune) bool {
	return c <= ' ' || c > '~'
}
