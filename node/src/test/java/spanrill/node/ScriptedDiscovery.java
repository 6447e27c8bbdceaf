package spanrill.node;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A scripted discovery service on the loopback interface: requests are queued, and tests write the events. */
final class ScriptedDiscovery implements AutoCloseable {
    private final String status;
    private final String body;
    private final long responseDelayMs;
    private final ScheduledExecutorService responder = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "discovery-responder");
        thread.setDaemon(true);
        return thread;
    });
    private final ServerSocket listener;
    private final BlockingQueue<StreamRequest> requests = new LinkedBlockingQueue<>();

    /** A request: its path, its Last-Event-ID, and the connection for the events. */
    record StreamRequest(String path, String lastEventId, Socket socket) {
        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
        }

        void sendEvent(long number, String event) throws IOException {
            write("id: " + number + "\ndata: " + event + "\n\n");
        }
    }

    ScriptedDiscovery() throws IOException {
        this("200 OK", ": hello\n\n");
    }

    /** A service that answers with {@code status} and begins the body of each response with {@code body}. */
    ScriptedDiscovery(String status, String body) throws IOException {
        this(status, body, 0);
    }

    /** A service that answers each request {@code responseDelayMs} after the request arrived. */
    ScriptedDiscovery(String status, String body, long responseDelayMs) throws IOException {
        this.status = status;
        this.body = body;
        this.responseDelayMs = responseDelayMs;
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread acceptor = new Thread(this::accept, "discovery");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                BufferedReader reader =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
                String requestLine = reader.readLine();
                if (requestLine == null) {
                    // The connection was closed before it sent a request.
                    continue;
                }
                String lastEventId = null;
                for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
                    if (line.toLowerCase(java.util.Locale.ROOT).startsWith("last-event-id:")) {
                        lastEventId = line.substring(14).trim();
                    }
                }
                StreamRequest request = new StreamRequest(requestLine.split(" ")[1], lastEventId, socket);
                if (responseDelayMs == 0) {
                    respond(request);
                } else {
                    responder.schedule(() -> respond(request), responseDelayMs, TimeUnit.MILLISECONDS);
                }
            }
        } catch (IOException e) {
            // Closed by the test.
        }
    }

    private void respond(StreamRequest request) {
        try {
            request.write("HTTP/1.1 " + status + "\r\ncontent-type: text/event-stream\r\n\r\n" + body);
            requests.add(request);
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }

    StreamRequest awaitRequest(long ms) throws InterruptedException {
        return requests.poll(ms, TimeUnit.MILLISECONDS);
    }

    int port() {
        return listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        responder.shutdownNow();
    }
}
