package spanrill.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * How a node is started: the {@code run} line of a deploy file.
 *
 * @param home the folder that it is started in
 * @param command for the shell
 */
public record NodeLaunchCommand(Path home, String command) {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    /**
     * Reads it from {@code deploy/balancer.toml} under a checkout.
     *
     * @throws IOException when there is no such file, or no such line in it
     */
    public static NodeLaunchCommand fromDeployFile(Path home) throws IOException {
        Path file = home.resolve("deploy/balancer.toml");
        Matcher run = RUN.matcher(Files.readString(file));
        if (!run.find()) {
            throw new IOException(file + ": has no line 'run = \"...\"'");
        }
        return new NodeLaunchCommand(home, run.group(1));
    }
}
