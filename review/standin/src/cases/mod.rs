pub mod growing_core;
pub mod ready_answers;
pub mod replaced_voter;
pub mod uploads;
