//! Routing decisions: places, caps, ramps, links and look-ups.
