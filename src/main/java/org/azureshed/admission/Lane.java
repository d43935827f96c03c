package org.azureshed.admission;

/** The account that a request's slot is charged to. */
public enum Lane {
    /** Work that ends soon; may use all slots. */
    SHORT,
    /** Work that holds its slot for long; may use part of the slots. */
    LONG
}
