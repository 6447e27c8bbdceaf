/** Micro-benchmarks of code on the hot path (JMH). */
package spanrill.bench;
