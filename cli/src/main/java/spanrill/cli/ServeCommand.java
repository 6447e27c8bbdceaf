package spanrill.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import spanrill.front.FrontDaemon;
import spanrill.front.FrontSettings;
import spanrill.settings.Settings;

/** Runs a front until it is killed. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = {
            "Runs a front by its settings until it is stopped.",
            "Logs are JSON lines on standard output; the event front.listening has the port."
        })
final class ServeCommand implements Callable<Integer> {
    @Parameters(paramLabel = "CONFIG", description = "settings of the front (Jsonnet)")
    private Path config;

    @Override
    public Integer call() throws Exception {
        FrontSettings settings = Settings.read(config, FrontSettings.class);
        try (FrontDaemon daemon =
                FrontDaemon.start(settings, config.toAbsolutePath().getParent())) {
            daemon.join();
        }
        return Exit.HELD;
    }
}
