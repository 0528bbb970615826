package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// demoJobs is the number of jobs submitted for each user.
	demoJobs = 6
	// jobLongPoll is the longest time that one status request waits for a job's
	// end.
	jobLongPoll = 5 * time.Second
	// jobRetryDelay is the pause before a submission or status request is repeated.
	jobRetryDelay = 200 * time.Millisecond
)

// jobClient submits jobs, waits for their end and checks their results.
type jobClient struct {
	client *http.Client
	addrs  []string
}

// runJobs submits jobs of one kind to the entries in turn, waits for each job's
// end at the entry after the one that accepted it, and checks its result. It
// returns the number of jobs whose result was right.
func (c *jobClient) runJobs(ctx context.Context, d queueLoad) (done int, err error) {
	for i := range demoJobs {
		body := fmt.Sprintf("run=%s;job %d of %s", d.runTime, i, d.customer)
		id, err := c.submit(ctx, c.entryURL(i), d, body)
		if err != nil {
			return done, err
		}
		if err := c.awaitResult(ctx, c.entryURL(i+1), id, body); err != nil {
			return done, err
		}
		done++
	}
	return done, nil
}

func (c *jobClient) entryURL(i int) string { return "http://" + c.addrs[i%len(c.addrs)] }

// submit submits a job until it is accepted, and returns its id. Only a job that
// the entry reported as not run is submitted again.
func (c *jobClient) submit(ctx context.Context, entry string, d queueLoad, body string) (id string, err error) {
	header := http.Header{"Customer": {d.customer}, "Kind": {d.kind}}
	for {
		res, b, err := c.call(ctx, http.MethodPost, entry+"/v1/queues/"+d.queue+"/jobs", body, header)
		switch {
		case err != nil:
			return "", err
		case res.StatusCode == http.StatusAccepted:
			var job struct {
				ID string `json:"id"`
			}
			err := json.Unmarshal(b, &job)
			return job.ID, err
		case res.Header.Get("Outcome") != "not-run":
			return "", fmt.Errorf("%w: job submission answered with %s: %s", errDemo, res.Status, b)
		}
		if err := sleep(ctx, jobRetryDelay); err != nil {
			return "", err
		}
	}
}

// awaitResult waits for a job's end and checks its result.
func (c *jobClient) awaitResult(ctx context.Context, entry, id, body string) error {
	for {
		var job struct{ State, Cause string }
		res, b, err := c.call(ctx, http.MethodGet, entry+"/v1/jobs/"+id+"?wait="+jobLongPoll.String(), "", nil)
		if err != nil {
			return err
		}
		if res.StatusCode == http.StatusOK {
			if err := json.Unmarshal(b, &job); err != nil {
				return err
			}
		}
		switch job.State {
		case "done":
			return c.checkResult(ctx, entry, id, body)
		case "", "waiting", "running":
		default:
			return fmt.Errorf("%w: job %s is %s: %s", errDemo, id, job.State, job.Cause)
		}
		if err := sleep(ctx, jobRetryDelay); err != nil {
			return err
		}
	}
}

// checkResult compares a job's result with the body that was submitted, which
// the stand-in worker returns as the result.
func (c *jobClient) checkResult(ctx context.Context, entry, id, body string) error {
	res, b, err := c.call(ctx, http.MethodGet, entry+"/v1/jobs/"+id+"/result", "", nil)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK || !bytes.Equal(b, []byte(body)) {
		return fmt.Errorf("%w: unexpected result of job %s: %s: %q", errDemo, id, res.Status, b)
	}
	return nil
}

func (c *jobClient) call(ctx context.Context, method, url, body string, header http.Header) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	req.Header = header
	res, err := c.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res, b, err
}

// sleep pauses for d, or returns the context's error if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
