package spanrill.settings;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Bounds of a number, or of the length of a text, list or map; both included. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface Range {
    /** Least. */
    double min() default Double.NEGATIVE_INFINITY;

    /** Most. */
    double max() default Double.POSITIVE_INFINITY;
}
