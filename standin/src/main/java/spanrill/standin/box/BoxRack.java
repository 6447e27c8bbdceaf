package spanrill.standin.box;

import java.util.ArrayList;
import java.util.List;

/**
 * A rack: its boxes and the uplink that they share. When more is asked of a link or uplink than it gives,
 * each
 * session there gets the same share of its own rate. The link cuts first; the uplink is asked for what the
 * links let through.
 */
final class BoxRack {
    private final double uplinkKb;
    private final List<StandinBox> boxes = new ArrayList<>();
    private double link = 1;
    private double use;
    private double shown;

    BoxRack(double uplinkKb) {
        this.uplinkKb = uplinkKb;
    }

    void add(StandinBox box) {
        boxes.add(box);
    }

    /** The uplink gives this share. */
    void gives(double share) {
        link = share;
        settle();
    }

    /** Shares anew, after a change of what is asked or given. */
    void settle() {
        double through = 0;
        double asked = 0;
        for (StandinBox box : boxes) {
            through += Math.min(box.asked(), box.gives());
            asked += box.asked();
        }
        double gives = uplinkKb * link;
        use = gives <= 0 ? 2 : asked / gives;
        double up = through <= gives ? 1 : gives / through;
        for (StandinBox box : boxes) {
            double own = box.asked() <= box.gives() ? 1 : box.gives() / box.asked();
            box.share(own * up);
        }
    }

    double use() {
        return use;
    }

    void show() {
        shown = use;
    }

    double shownUse() {
        return shown;
    }
}
