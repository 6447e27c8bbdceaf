package spanrill.node.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import spanrill.decisions.ConnectionBudget;
import spanrill.decisions.PauseMonitor;
import spanrill.session.EventSink;

class ClientListenerTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Guards against a connection leaving the budget twice: a failed write ends it while its drain waits for input. */
    @Test
    void connectionThatEndedDoesNotLeaveTheBudgetAgainWhenItsDrainGoesOn() throws Exception {
        EventLoop loop = group.next();
        ConnectionBudget budget = new ConnectionBudget(4);
        ClientListener listener =
                new ClientListener(loop, budget, new PauseMonitor(20), true, EventSink.none(), EventSink.none());
        NioSocketChannel ended = new NioSocketChannel();
        NioSocketChannel open = new NioSocketChannel();
        loop.register(ended).sync();
        loop.register(open).sync();
        loop.submit(() -> {
                    listener.accept(ended);
                    listener.accept(open);
                    ClientConnection connection = ended.pipeline().get(ClientConnection.class);
                    ended.close();
                    listener.onClosing(connection);
                })
                .sync();
        assertEquals(1, budget.open());
        open.close().sync();
        assertEquals(0, budget.open());
    }
}
