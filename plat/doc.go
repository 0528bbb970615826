// Package plat is the client of the platform: its key-value service with
// compare-and-swap, leases and watches, its list of hosts, which lags behind, and
// its reboots.
//
// The platform speaks HTTP:
//
//	GET    /kv/KEY                       value; header Rev is the key's revision
//	PUT    /kv/KEY?prev=R[&lease=L]      set if the key's revision is R; R=0 creates
//	DELETE /kv/KEY?prev=R                delete if the key's revision is R
//	GET    /list?prefix=P                {"rev":G,"items":[{"key","value","rev"}]}
//	GET    /watch?prefix=P&after=G&wait=D  the same format, keys changed after G;
//	                                     "gone":true marks deleted keys; waits at most D
//	POST   /lease?ttl=D                  {"id":L}
//	PUT    /lease/L                      renew
//	DELETE /lease/L                      revoke; keys held by the lease are deleted
//	GET    /hosts                        {"hosts":[{"name","dc","rack","addr","state"}]};
//	                                     header ETag, and 304 for If-None-Match
//	POST   /hosts/NAME/reboot?op=ID      order a reboot; calls with the same ID are one order
//
// The service answers 409 if a condition fails, 404 for an unknown key, lease or
// host, 413 for a value above MaxValue, 429 for a call above its rates, 503 in an
// outage, and 410 for a watch from a revision whose history it no longer keeps.
// The store assigns the revision of a key, which may start over when the store is
// restarted; documents have a revision of their own where order matters.
package plat
