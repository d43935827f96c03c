package org.azureshed.ejection;

/** How much of its usual share of requests an ejected target receives. */
public enum Stage {
    /** None. */
    EJECTED(0),
    /** First stage of the readmission. */
    TENTH(10),
    /** Second stage of the readmission. */
    QUARTER(25),
    /** Third stage of the readmission. */
    HALF(50),
    /** Last stage; after a good interval the target leaves the record. */
    FULL(100);

    private final int percent;

    Stage(int percent) {
        this.percent = percent;
    }

    /**
     * The share of requests.
     *
     * @return percent of the usual share, 0 to 100
     */
    public int percent() {
        return percent;
    }

    /** The stage after this one; the last stage is its own successor. */
    Stage next() {
        return this == FULL ? FULL : values()[ordinal() + 1];
    }
}
