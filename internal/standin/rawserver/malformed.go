package rawserver

import "fmt"

// Whole returns a well-formed response with status 200. fields are header fields, each of which ends with CRLF.
func Whole(fields, body string) string { return withStatus("200 OK", fields, body) }

func withStatus(status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

// chunked returns a body in one chunk, with trailer fields.
func chunked(body, trailer string) string {
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n%s\r\n", len(body), body, trailer)
}

// MalformedHeads returns responses by name whose head is malformed, although net/http accepts it. fields are as for Whole.
func MalformedHeads(fields, body string) map[string]string {
	return map[string]string{
		"status 000":                           withStatus("000 None", fields, body),
		"status 000 without a body":            withStatus("000 None", fields, ""),
		"status 000 without a reason":          withStatus("000", fields, body),
		"status 000 before a response":         "HTTP/1.1 000 None\r\n\r\n" + Whole(fields, body),
		"status 000 after an interim response": "HTTP/1.1 103 Early Hints\r\n\r\n" + withStatus("000 None", fields, body),
		"status 001":                           withStatus("001 None", fields, body),
		"status 099 before a response":         "HTTP/1.1 099 None\r\n\r\n" + Whole(fields, body),
		"status 600":                           withStatus("600 None", fields, body),
		"status 999":                           withStatus("999 None", fields, body),
		"signed status":                        withStatus("+20 OK", fields, body),

		"space in a name":                   Whole(fields+"X Mark: m\r\n", body),
		"space in the first name":           Whole("X Mark: m\r\n"+fields, body),
		"space before a colon":              Whole(fields+"X-Mark : m\r\n", body),
		"space in a name, no body":          Whole(fields+"X Mark: m\r\n", ""),
		"space in a name, interim response": "HTTP/1.1 103 Early Hints\r\nX Mark: m\r\n\r\n" + Whole(fields, body),
		"space before the coding's colon":   Whole(fields+"Transfer-Encoding : chunked\r\n", chunked(body, "")),
		"space before the coding's colon, ended by the connection": "HTTP/1.1 200 OK\r\n" + fields + "Connection: close\r\nTransfer-Encoding : chunked\r\n\r\n" +
			chunked(body, ""),
		"space before the length's colon": Whole(fields+"Content-Length : 3\r\n", body),
	}
}

// MalformedTrailers returns responses by name whose trailer, or its announcement, is malformed, although net/http accepts it. fields are as for Whole.
func MalformedTrailers(fields, body string) map[string]string {
	head := "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n"
	return map[string]string{
		"space in a trailer name":            head + "\r\n" + chunked(body, "X Mark: m\r\n"),
		"space before a trailer's colon":     head + "\r\n" + chunked(body, "X-Mark : m\r\n"),
		"space in the second trailer name":   head + "\r\n" + chunked(body, "X-Mark: m\r\nX Mark: m\r\n"),
		"space in an announced trailer name": head + "Trailer: X Mark\r\n\r\n" + chunked(body, "X Mark: m\r\n"),
		"space in an announcement alone":     head + "Trailer: X Mark\r\n\r\n" + chunked(body, ""),
	}
}

// UnreadableTrailers returns responses by name whose trailer net/http rejects. fields are as for Whole.
func UnreadableTrailers(fields, body string) map[string]string {
	head := "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n"
	return map[string]string{
		"control byte in a trailer name":  head + "\r\n" + chunked(body, "X\x01Mark: m\r\n"),
		"control byte in a trailer value": head + "\r\n" + chunked(body, "X-Mark: a\x01b\r\n"),
		"no colon in a trailer":           head + "\r\n" + chunked(body, "X-Mark\r\n"),
		"length in a trailer's name list": head + "Trailer: Content-Length\r\n\r\n" + chunked(body, "Content-Length: 1\r\n"),
	}
}

// UnreadableHeads returns responses by name whose head net/http rejects. fields are as for Whole.
func UnreadableHeads(fields, body string) map[string]string {
	return map[string]string{
		"tab in a name":               Whole(fields+"X\tMark: m\r\n", body),
		"tab before a colon":          Whole(fields+"X-Mark\t: m\r\n", body),
		"control byte in a name":      Whole(fields+"X\x01Mark: m\r\n", body),
		"null byte before a name":     Whole(fields+"\x00X-Mark: m\r\n", body),
		"return in a name":            Whole(fields+"X\rMark: m\r\n", body),
		"delete in a name":            Whole(fields+"X\x7fMark: m\r\n", body),
		"byte above ASCII in a name":  Whole(fields+"X\x80Mark: m\r\n", body),
		"empty name":                  Whole(fields+": m\r\n", body),
		"no colon":                    Whole(fields+"X-Mark\r\n", body),
		"space before the first name": Whole(" X-Mark: m\r\n"+fields, body),
		"control byte in a value":     Whole(fields+"X-Mark: a\x01b\r\n", body),
		"null byte in a value":        Whole(fields+"X-Mark: a\x00b\r\n", body),
		"return in a value":           Whole(fields+"X-Mark: a\rb\r\n", body),
	}
}
