package rawserver

import "fmt"

// Whole returns a well-formed response with status 200. fields are header fields, each of which ends with CRLF.
func Whole(fields, body string) string { return withStatus("200 OK", fields, body) }

func withStatus(status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

// MalformedStatuses returns responses by name that have a status which HTTP doesn't define. fields are as for Whole.
func MalformedStatuses(fields, body string) map[string]string {
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
	}
}
