// Timing and sizing parameters that a ledger and its grant holders share. The defaults apply between the
// primary and its relays.
#pragma once

namespace lilacmux {

struct ShareTiming {
  double lease = 4000;             // ms after the last report until a reserve and a granted rate expire
  double disconnectedAfter = 600;  // ms after the last answered report until the holder uses its granted rate
  // ms after the last report until the ledger assumes that the holder uses its granted rate; less than
  // `disconnectedAfter`.
  double unresponsiveAfter = 450;
  double minReserve = 1;         // tokens in the reserve of an idle holder
  bool wholeTokens = false;      // a reserve of less than one token is rounded up to one
  double reserveThreshold = 0;   // tokens; a smaller reserve is rounded down to none
  double reserveSeconds = 0.25;  // seconds of the holder's demand that a reserve covers
  double reserveDeviations = 1;  // standard deviations (of a Poisson process) added to the reserve
};

// Returns the parameters that apply between a relay and its gatekeepers.
ShareTiming gatekeeperTiming();

// Returns the target reserve, in tokens, of a holder with `requestRate` requests per second. If it is 0, the
// holder requests each token when it needs one.
double reserveFor(const ShareTiming& timing, double requestRate);

}  // namespace lilacmux
