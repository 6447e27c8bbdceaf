package spanrill.simhost;

import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;

/** Entry point: {@code spanrill.simhost.Main simhost}. */
public final class Main {
    private Main() {}

    /** Runs the adapter on standard input and output, or prints the usage. */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("simhost")) {
            System.err.println("usage: java -cp CORE.jar:SIMHOST.jar spanrill.simhost.Main simhost");
            System.exit(2);
        }
        BufferedReader in = new BufferedReader(
                new InputStreamReader(new FileInputStream(FileDescriptor.in), StandardCharsets.UTF_8), 1 << 16);
        Writer out = new OutputStreamWriter(
                new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16), StandardCharsets.UTF_8);
        try {
            new SimulatorAdapter(out).run(in);
        } catch (InputFormatException e) {
            System.err.println("simhost: " + e.getMessage());
            System.exit(1);
        }
    }
}
