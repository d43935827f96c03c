package org.azureshed.admission;

/** What admission decided about a request. */
public sealed interface Decision permits Ticket, Refusal {}
