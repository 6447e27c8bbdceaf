package spanrill.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import spanrill.day.Day;

/** Writes the settings of a rehearsal's fronts; JSON is Jsonnet. */
final class FrontConfig {
    private static final ObjectMapper JSON = new ObjectMapper();

    private FrontConfig() {}

    static void write(
            Path file,
            Day day,
            List<Double> links,
            int me,
            int port,
            int registryPort,
            long seed,
            Map<String, Number> limits)
            throws IOException {
        double all = links.stream().mapToDouble(Double::doubleValue).sum();
        ObjectNode root = JSON.createObjectNode()
                .put("me", me)
                .put("fronts", day.fronts())
                .put("zone", day.zones().get(me % day.zones().size()))
                .put("seed", seed * 1000 + me)
                .put("keys", "keys.json")
                .put("state", "state-" + me);
        root.putObject("listen").put("port", port);
        root.putObject("registry").put("port", registryPort);
        ObjectNode classes = root.putObject("classes");
        day.classes()
                .forEach((name, c) -> classes.putObject(name)
                        .put("aimMs", c.aimMs())
                        .put("patienceMs", c.patienceMs())
                        .put("worth", c.worth())
                        .put("once", c.once())
                        .put("floor", c.floor())
                        .put("top", c.top())
                        .put("scale", c.scale())
                        .put("seats", c.seats()));
        root.putObject("kinds").putObject("std").put("places", day.boxes().places());
        root.set("ladder", JSON.valueToTree(day.ladder()));
        root.putObject("fleet")
                .put("cells", day.boxes().count())
                .put("racks", day.boxes().racks())
                .put("linksKb", all)
                .put("weightKb", day.boxes().linkKb())
                .put("uplinkKb", all * day.boxes().uplinkShare() / day.boxes().racks());
        root.set("notes", JSON.valueToTree(day.notes()));
        ObjectNode rules = JSON.valueToTree(day.rules());
        rules.put("coldMs", day.boxes().coldMs()).put("coldShare", day.boxes().coldShare());
        root.set("rules", rules);
        root.set("limits", JSON.valueToTree(limits));
        Files.writeString(file, root.toPrettyString());
    }
}
