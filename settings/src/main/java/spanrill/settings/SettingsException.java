package spanrill.settings;

/** A settings file that can't be used, told with its place and the reason; made for people to read. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1;

    /** A message such as {@code front.jsonnet:12: field listen.port: must be at most 65535, is 70000}. */
    public SettingsException(String message) {
        super(message);
    }
}
