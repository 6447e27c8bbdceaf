/** Reads the settings of a front from its configuration; shared by the simulator adapter and the front node. */
package spanrill.setup;
