package spanrill.settings;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Inclusive bounds of a number, or of the length of a string, list or map. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface Range {
    /** Lower bound. */
    double min() default Double.NEGATIVE_INFINITY;

    /** Upper bound. */
    double max() default Double.POSITIVE_INFINITY;
}
