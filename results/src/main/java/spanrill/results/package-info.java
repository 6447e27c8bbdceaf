/** What a run measured, as rows in Parquet; the check of shares that reads them back; pictures. */
package spanrill.results;
