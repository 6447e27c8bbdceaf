package spanrill.node;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Discovery on loopback: each request is put in a queue, what is told is what the test writes. */
final class ScriptedDiscovery implements AutoCloseable {
    private final String status;
    private final String body;
    private final ServerSocket listening;
    private final BlockingQueue<StreamRequest> asked = new LinkedBlockingQueue<>();

    /** A request: its Last-Event-ID, and the connection to tell on. */
    record StreamRequest(String path, String lastEventId, Socket socket) {
        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
        }

        void sendEvent(long no, String event) throws IOException {
            write("id: " + no + "\ndata: " + event + "\n\n");
        }
    }

    ScriptedDiscovery() throws IOException {
        this("200 OK", ": hello\n\n");
    }

    /** One whose answers have a status of their own and begin with a body. */
    ScriptedDiscovery(String status, String body) throws IOException {
        this.status = status;
        this.body = body;
        listening = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread accepting = new Thread(this::accept, "bulletin");
        accepting.setDaemon(true);
        accepting.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listening.accept();
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
                String first = in.readLine();
                if (first == null) {
                    // It came up and was given up before it asked.
                    continue;
                }
                String last = null;
                for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                    if (line.toLowerCase(java.util.Locale.ROOT).startsWith("last-event-id:")) {
                        last = line.substring(14).trim();
                    }
                }
                StreamRequest next = new StreamRequest(first.split(" ")[1], last, socket);
                next.write("HTTP/1.1 " + status + "\r\ncontent-type: text/event-stream\r\n\r\n" + body);
                asked.add(next);
            }
        } catch (IOException e) {
            // Closed by the test.
        }
    }

    StreamRequest awaitRequest(long ms) throws InterruptedException {
        return asked.poll(ms, TimeUnit.MILLISECONDS);
    }

    int port() {
        return listening.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}
