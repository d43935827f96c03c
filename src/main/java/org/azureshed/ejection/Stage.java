package org.azureshed.ejection;

/** Stage of the ejection and gradual readmission of a target. */
public enum Stage {
    /** Ejected: the target receives no requests. */
    EJECTED(0),
    /** First stage of the readmission. */
    TENTH(10),
    /** Second stage of the readmission. */
    QUARTER(25),
    /** Third stage of the readmission. */
    HALF(50),
    /** Last stage of the readmission; when it is passed, the target is removed from the record. */
    FULL(100);

    private final int percent;

    Stage(int percent) {
        this.percent = percent;
    }

    /**
     * The share of requests that the target receives.
     *
     * @return percent of its usual share, 0 to 100
     */
    public int percent() {
        return percent;
    }

    /** The stage after this one; the last stage is its own successor. */
    Stage next() {
        return this == FULL ? FULL : values()[ordinal() + 1];
    }
}
