package spanrill.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.stream.Collectors;

/** Writes the configuration file of a node in the format that the operators' platform uses. */
final class NodeConfigFile {
    private static final int SOCKET_LIMIT = 512;
    private static final int MEMORY_LIMIT_MB = 160;
    private static final String SETTINGS = """
            {"me":%d,"balancers":%d,"az":"a","models":["std"],"tenants":[],"over_share_worth":0.1,
             "classes":[%s],
             "family_info":{"cells":2,"racks":1,"class_floor":[%s],"class_top":[%s],"class_seats":[%s],
              "scale_by_class":[%s],"places_by_kind":[%d],"level_kb":[100.0,200.0,400.0],
              "worth_by_rung":[0.3,0.6,1.0],"links_kb":3000000.0,"weight_kb":1000000.0,"rack_kb":3000000.0,
              "stall":7.0,"change_costs_s":0.5,"told_late":200.0,"tell":1000.0},
             "limits":{"max_attempts":%d,"max_retry_after":2000.0,"connect_timeout":300.0,"conn_idle":%s,
              "retry_after":true},
             "penalties":{"cross_zone":0.0},
             "safety":{"cold":%s,"cold_share":%s,"tip_multiple":%s,"fall":%s}}""";

    private NodeConfigFile() {}

    /** Replaces the file atomically, so that a node never reads a partly written one. */
    static void write(
            Path file,
            Trial trial,
            int nodeIndex,
            InetSocketAddress listenAddress,
            int discoveryPort,
            String knownEventsJson)
            throws IOException {
        String text = "{\"name\":\"n" + nodeIndex + "\",\"listen\":\"" + listenAddress.getHostString() + ":"
                + listenAddress.getPort()
                + "\",\"seed\":\"" + Long.toHexString(trial.seed() * 31 + nodeIndex) + "\",\"limits\":{\"cores\":1.0,"
                + "\"memory_mb\":" + MEMORY_LIMIT_MB + ",\"sockets\":" + SOCKET_LIMIT + "},\"bulletin\":\"127.0.0.1:"
                + discoveryPort + "\",\"known\":" + knownEventsJson + ",\"settings\":" + settings(trial, nodeIndex)
                + "}";
        Path newFile = file.resolveSibling(file.getFileName() + ".new");
        Files.writeString(newFile, text);
        Files.move(newFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    private static String settings(Trial trial, int nodeIndex) {
        String classes = trial.classes().stream()
                .map(c -> "{\"name\":\"" + c.name() + "\",\"target\":"
                        + c.deadlineMs() / 2 + ",\"hard_limit\":" + c.deadlineMs() + ",\"value\":"
                        + (c.once() ? 3.0 : 1.0)
                        + ",\"effect\":\"" + (c.once() ? "once" : "repeatable") + "\"}")
                .collect(Collectors.joining(","));
        return SETTINGS.formatted(
                nodeIndex,
                trial.nodes(),
                classes,
                repeatPerClass(trial, "0"),
                repeatPerClass(trial, "2"),
                repeatPerClass(trial, "0"),
                repeatPerClass(trial, "1.0"),
                trial.places(),
                Trial.MAX_ATTEMPTS,
                trial.idleMs(),
                Trial.COLD_MS,
                Trial.COLD_SHARE,
                Trial.TIP_MULTIPLE,
                Trial.FALL_MS);
    }

    private static String repeatPerClass(Trial trial, String value) {
        return trial.classes().stream().map(c -> value).collect(Collectors.joining(","));
    }
}
