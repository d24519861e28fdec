/**
 * Client accounts: who may send requests, and how much each account may spend of its quota over all entries together.
 * Entries admit requests against a balance that they keep together; processes beside engines add up what entries report
 * to have spent. Nothing here knows how requests or reports travel.
 */
package io.waxwingquay.account;
