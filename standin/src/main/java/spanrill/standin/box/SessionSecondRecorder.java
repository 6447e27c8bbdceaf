package spanrill.standin.box;

import java.util.List;
import spanrill.model.link.LinkNetwork;
import spanrill.results.ParquetRows;
import spanrill.results.SecondRow;

/** Closes each second of each session: what it asked, was granted by the model, and its viewer received. */
final class SessionSecondRecorder {
    /** A session that asked for nothing for longer than this was not busy in that second. */
    private static final double IDLE_MS = 25;

    private final LinkNetwork network;
    private final ReceivedBytes receipts;
    private final ParquetRows<SecondRow> rows;
    private long[] changesBefore = new long[0];
    private double at = Double.NaN;
    private int second;

    SessionSecondRecorder(LinkNetwork network, ReceivedBytes receipts, ParquetRows<SecondRow> rows) {
        this.network = network;
        this.receipts = receipts;
        this.rows = rows;
    }

    void recordSecond(double now, List<StandinBox> boxes) {
        if (rows == null) {
            return;
        }
        double ms = Double.isNaN(at) ? 0 : now - at;
        at = now;
        second++;
        long[] changes = new long[boxes.size()];
        boolean[] moved = new boolean[boxes.size()];
        for (StandinBox box : boxes) {
            changes[box.cell()] = network.shareChanges(box.cell());
            moved[box.rack()] |= changesBefore.length == 0 || changes[box.cell()] != changesBefore[box.cell()];
        }
        changesBefore = changes;
        for (StandinBox box : boxes) {
            for (BoxSession session : box.sessions()) {
                double granted = network.grantedBytes(now, session.flow);
                long received = receipts.total(session.token);
                // A session that began within the second has no whole second to show.
                if (session.receivedBefore >= 0 && ms > 0) {
                    rows.add(new SecondRow(
                            second,
                            session.token,
                            session.cls,
                            session.front,
                            box.cell(),
                            box.rack(),
                            session.rung,
                            session.flow.rate(),
                            network.linkCapacity(box.cell()),
                            network.uplinkCapacity(box.rack()),
                            granted - session.grantedBefore,
                            received - session.receivedBefore,
                            ms,
                            session.idleMs <= IDLE_MS,
                            !session.hadRoom,
                            !moved[box.rack()]));
                }
                session.grantedBefore = granted;
                session.receivedBefore = received;
                session.idleMs = 0;
                session.hadRoom = false;
            }
        }
    }
}
