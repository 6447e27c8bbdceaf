package spanrill.path;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import spanrill.standin.LoopbackServer;
import spanrill.standin.registry.Entry;
import spanrill.wire.box.BoxLink;
import spanrill.wire.http.Exchange;
import spanrill.wire.http.Headers;

/** A box that does what a test says, on a socket, and hands what it heard to the test. */
final class ScriptedBox {
    final String id;
    final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
    final BlockingQueue<Exchange> setUps = new LinkedBlockingQueue<>();
    volatile Consumer<Exchange> onSetUp = ScriptedBox::plays;
    volatile Supplier<Headers> onCallOff = Headers::new;
    volatile Consumer<Exchange> onSegment = x -> x.respond(200, new Headers(), new byte[1000]);
    private final Channel server;
    private final int cell;

    ScriptedBox(EventLoop loop, int cell) throws IOException {
        id = "box-" + cell;
        this.cell = cell;
        server = LoopbackServer.listen(loop, 0, channel -> {}, this::route);
    }

    Entry entry(String state) {
        return new Entry(id, LoopbackServer.port(server), "a", "std", cell, state, 1, 0);
    }

    private void route(Exchange exchange) {
        String path = exchange.head().path();
        if (path.equals(BoxLink.SETUP_PATH)) {
            exchange.onClosed(() -> heard.add("closed"));
            setUps.add(exchange);
            onSetUp.accept(exchange);
        } else if (path.equals(BoxLink.NOTES_PATH)) {
            exchange.start(200, new Headers(), -1);
            exchange.write(Unpooled.copiedBuffer("hello\t\t1\n", java.nio.charset.StandardCharsets.US_ASCII));
        } else if (exchange.head().method().equals("GET")) {
            onSegment.accept(exchange);
        } else {
            heard.add(exchange.head().method() + " " + path.substring(path.lastIndexOf('/') + 1));
            exchange.respond(204, onCallOff.get(), new byte[0]);
        }
    }

    static void plays(Exchange exchange) {
        exchange.respond(200, new Headers(), new byte[100]);
    }

    /** Says that it set the session up, and dies before the first media byte. */
    static void diesBeforeTheFirstByte(Exchange exchange) {
        exchange.start(200, new Headers(), 100);
        exchange.abort();
    }

    static void losesTheAnswer(Exchange exchange) {
        exchange.abort();
    }

    static void turnsAway(Exchange exchange) {
        exchange.respond(503, Headers.of(BoxLink.REASON, "places"), new byte[0]);
    }

    Exchange setUp() throws InterruptedException {
        Exchange exchange = setUps.poll(5, TimeUnit.SECONDS);
        if (exchange == null) {
            throw new AssertionError("no set-up came to " + id);
        }
        return exchange;
    }

    String heard() throws InterruptedException {
        return String.valueOf(heard.poll(5, TimeUnit.SECONDS));
    }

    void die() {
        server.close().syncUninterruptibly();
    }
}
