package spanrill.standin.box;

import java.util.List;
import spanrill.model.link.LinkNetwork;
import spanrill.results.ParquetRows;
import spanrill.results.SecondRow;

/** Writes one row per session and second: the rate asked for, bytes granted by the model, bytes the viewer received. */
final class SessionSecondRecorder {
    /** A session that requested nothing for longer than this was not busy in that second. */
    private static final double MAX_IDLE_MS = 25;

    private final LinkNetwork network;
    private final ReceivedBytes receivedBytes;
    private final ParquetRows<SecondRow> rows;
    private long[] previousChanges = new long[0];
    private double previousSecondAt = Double.NaN;
    private int second;

    SessionSecondRecorder(LinkNetwork network, ReceivedBytes receivedBytes, ParquetRows<SecondRow> rows) {
        this.network = network;
        this.receivedBytes = receivedBytes;
        this.rows = rows;
    }

    void recordSecond(double now, List<StandinBox> boxes) {
        if (rows == null) {
            return;
        }
        double elapsedMs = Double.isNaN(previousSecondAt) ? 0 : now - previousSecondAt;
        previousSecondAt = now;
        second++;
        long[] changes = new long[boxes.size()];
        boolean[] rackChanged = new boolean[boxes.size()];
        for (StandinBox box : boxes) {
            changes[box.cell()] = network.shareChanges(box.cell());
            rackChanged[box.rack()] |=
                    previousChanges.length == 0 || changes[box.cell()] != previousChanges[box.cell()];
        }
        previousChanges = changes;
        for (StandinBox box : boxes) {
            for (BoxSession session : box.sessions()) {
                double granted = network.grantedBytes(now, session.flow);
                long received = receivedBytes.total(session.token);
                // A session that started within this second has no complete second to record.
                if (session.receivedBefore >= 0 && elapsedMs > 0) {
                    rows.add(new SecondRow(
                            second,
                            session.token,
                            session.serviceClass,
                            session.front,
                            box.cell(),
                            box.rack(),
                            session.rung,
                            session.flow.rate(),
                            network.linkCapacity(box.cell()),
                            network.uplinkCapacity(box.rack()),
                            granted - session.grantedBefore,
                            received - session.receivedBefore,
                            elapsedMs,
                            session.idleMs <= MAX_IDLE_MS,
                            !session.linkHadRoom,
                            !rackChanged[box.rack()]));
                }
                session.grantedBefore = granted;
                session.receivedBefore = received;
                session.idleMs = 0;
                session.linkHadRoom = false;
            }
        }
    }
}
