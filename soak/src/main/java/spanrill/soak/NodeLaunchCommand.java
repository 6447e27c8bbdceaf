package spanrill.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Command that starts a node: the {@code run} line of a deploy file.
 *
 * @param home working directory of the node
 * @param command shell command line
 */
public record NodeLaunchCommand(Path home, String command) {
    private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");

    /**
     * Reads the command from {@code deploy/balancer.toml} in a checkout.
     *
     * @throws IOException if the file does not exist or has no {@code run} line
     */
    public static NodeLaunchCommand fromDeployFile(Path home) throws IOException {
        Path file = home.resolve("deploy/balancer.toml");
        Matcher runLine = RUN_LINE.matcher(Files.readString(file));
        if (!runLine.find()) {
            throw new IOException(file + ": has no line 'run = \"...\"'");
        }
        return new NodeLaunchCommand(home, runLine.group(1));
    }
}
