package spanrill.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.Map;
import java.util.TreeMap;
import javax.management.JMException;
import javax.management.ObjectName;

/**
 * What parts of the rehearsal's own process used: CPU by the threads of each part, and live objects by the
 * package of their class (what a part's own classes hold, not the strings and buffers that they point to).
 */
final class Resources {
    private static final Map<String, String> PACKAGES = Map.of(
            "spanrill.model",
            "model",
            "spanrill.standin.box",
            "boxes",
            "spanrill.standin.viewer",
            "players",
            "spanrill.check",
            "records",
            "io.netty",
            "netty");

    private final Map<String, Double> cpuMs = new TreeMap<>();
    private final Map<String, Long> liveBytes = new TreeMap<>();

    private Resources() {}

    /**
     * Takes both now; a collection runs first.
     *
     * @param modelMs of the time of the boxes' threads, that which the model of links took
     */
    static Resources take(double modelMs) {
        Resources taken = new Resources();
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        for (long id : threads.getAllThreadIds()) {
            ThreadInfo info = threads.getThreadInfo(id);
            if (info != null) {
                String part = info.getThreadName().startsWith("boxes")
                        ? "boxes"
                        : info.getThreadName().startsWith("players") ? "players" : "others";
                taken.cpuMs.merge(part, Math.max(0, threads.getThreadCpuTime(id)) / 1e6, Double::sum);
            }
        }
        taken.cpuMs.put("model", modelMs);
        taken.cpuMs.merge("boxes", -modelMs, Double::sum);
        try {
            String histogram = (String) ManagementFactory.getPlatformMBeanServer()
                    .invoke(
                            new ObjectName("com.sun.management:type=DiagnosticCommand"),
                            "gcClassHistogram",
                            new Object[] {new String[0]},
                            new String[] {String[].class.getName()});
            histogram.lines().forEach(taken::line);
        } catch (JMException e) {
            taken.liveBytes.put("not known: " + e.getMessage(), 0L);
        }
        return taken;
    }

    private void line(String line) {
        String[] parts = line.trim().split("\\s+");
        if (parts.length < 4 || !parts[2].matches("\\d+")) {
            return;
        }
        long bytes = Long.parseLong(parts[2]);
        liveBytes.merge("all", bytes, Long::sum);
        PACKAGES.forEach((prefix, part) -> {
            if (parts[3].startsWith(prefix)) {
                liveBytes.merge(part, bytes, Long::sum);
            }
        });
    }

    ObjectNode json() {
        ObjectNode root = new ObjectMapper().createObjectNode();
        ObjectNode cpu = root.putObject("cpuMs");
        cpuMs.forEach(cpu::put);
        ObjectNode live = root.putObject("liveBytes");
        liveBytes.forEach(live::put);
        return root;
    }
}
