package standin

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// Guards against links that lose data, ignore the zones or carry data across a
// partition.
func TestPeerLink(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _ = io.Copy(conn, conn)
		}
	}()
	const oneWay = 30 * time.Millisecond
	network := NewNetwork(NewZoneDelays(oneWay))
	network.Add(membership.Instance{ID: "i1", Zone: "zone-a"})
	link, err := network.Link(membership.Instance{ID: "i2", Zone: "zone-b", Address: listener.Addr().String()})
	assert.NilError(t, err)
	defer link.Stop()
	conn, err := net.Dial("tcp", link.Address())
	assert.NilError(t, err)
	defer conn.Close()

	sent := time.Now()
	echo(t, conn, "\x0a\x04\x0a\x02i1 message")
	assert.Assert(t, time.Since(sent) >= 2*oneWay, "the delay is a lower bound")
	network.Partition("i1")
	_, err = conn.Write([]byte("held"))
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(150*time.Millisecond)))
	_, err = conn.Read(make([]byte, 4))
	assert.ErrorContains(t, err, "timeout")
	network.Heal()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = io.ReadFull(conn, make([]byte, 4))
	assert.NilError(t, err)
}

func echo(t *testing.T, conn net.Conn, message string) {
	t.Helper()
	_, err := conn.Write([]byte(message))
	assert.NilError(t, err)
	reply := make([]byte, len(message))
	_, err = io.ReadFull(conn, reply)
	assert.NilError(t, err)
	assert.Equal(t, string(reply), message)
}
