//! The control process: membership, configuration spreading and planning.
