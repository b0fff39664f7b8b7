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
	Machine string `arg:"" help:"IP address of the control machine that is gone."`
	At      string `placeholder:"HOST:PORT" help:"Admin address of a control machine in contact; without it, this machine's by its settings file."`
	Timeout int    `default:"8000" help:"Milliseconds to wait."`
}

func (c retireCmd) Run() error {
	if net.ParseIP(c.Machine) == nil {
		return usageError{fmt.Errorf("%q is not an IP address", c.Machine)}
	}
	at := c.At
	if at == "" {
		set, err := settings.Load(os.Getenv(settings.EnvFile))
		if err != nil {
			return usageError{fmt.Errorf("no --at given, and %w", err)}
		}
		at = set.InternalAddress(constants.PortControlAdmin)
	}
	if _, _, err := net.SplitHostPort(at); err != nil {
		return usageError{fmt.Errorf("%q is not HOST:PORT", at)}
	}
	client := &http.Client{Timeout: time.Duration(c.Timeout) * time.Millisecond}
	resp, err := client.Post("http://"+at+"/retire?machine="+url.QueryEscape(c.Machine), "", nil)
	if err != nil {
		return fmt.Errorf("%s does not answer", at)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, statusMax))
	if err != nil {
		return fmt.Errorf("the answer broke off: %w", err)
	}
	var said struct {
		Error  string
		Voters []string
	}
	if json.Unmarshal(body, &said) != nil || said.Error == "" && len(said.Voters) == 0 {
		return errors.New("what answers there is no control machine's admin port")
	}
	if said.Error != "" {
		return fmt.Errorf("%s stays a voter: %s", c.Machine, said.Error)
	}
	fmt.Printf("%s is retired; voters: %s\n", c.Machine, strings.Join(said.Voters, ", "))
	return nil
}
