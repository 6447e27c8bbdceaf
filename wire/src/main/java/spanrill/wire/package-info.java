/** Network code that the protocols of this package share. */
package spanrill.wire;
