package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"slateridge/internal/constants"
	"slateridge/internal/settings"
)

type retireCmd struct {
	Machine string `arg:"" help:"IP address of the lost control machine."`
	At      string `placeholder:"HOST:PORT" help:"Admin address of a control machine that is in contact with a majority; by default that of this machine, from its settings file."`
	Timeout int    `default:"8000" help:"Milliseconds to wait for the response."`
}

func (c retireCmd) Run() error {
	if net.ParseIP(c.Machine) == nil {
		return usageError{fmt.Errorf("%q is not an IP address", c.Machine)}
	}
	addr := c.At
	if addr == "" {
		set, err := settings.Load(os.Getenv(settings.EnvFile))
		if err != nil {
			return usageError{fmt.Errorf("no --at given: %w", err)}
		}
		addr = set.InternalAddress(constants.PortControlAdmin)
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return usageError{fmt.Errorf("%q is not HOST:PORT", addr)}
	}
	client := &http.Client{Timeout: time.Duration(c.Timeout) * time.Millisecond}
	resp, err := client.Post("http://"+addr+"/retire?machine="+url.QueryEscape(c.Machine), "", nil)
	if err != nil {
		return fmt.Errorf("no daemon responds at %s", addr)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("cannot read the response: %w", err)
	}
	var answer struct {
		Error  string
		Voters []string
	}
	if json.Unmarshal(body, &answer) != nil || answer.Error == "" && len(answer.Voters) == 0 {
		return errors.New("no control machine has its admin port at this address")
	}
	if answer.Error != "" {
		return fmt.Errorf("%s stays a voter: %s", c.Machine, answer.Error)
	}
	fmt.Printf("%s is retired; voters: %s\n", c.Machine, strings.Join(answer.Voters, ", "))
	return nil
}
