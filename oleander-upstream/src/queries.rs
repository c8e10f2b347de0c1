//! The single queries of a connection. They have no time limit of their own; the callers apply
//! one.

use oleander_core::statement::Rows;
use oleander_core::statement::Statement;
use oleander_core::terms::InstanceStatus;
use tokio_postgres::types::ToSql;
use tokio_postgres::types::Type;

use crate::connection::Connection;
use crate::contract;
use crate::errors::Error;
use crate::errors::Result;
use crate::guard;
use crate::values;

impl Connection {
    /// Sets the workspace on a connection that has none.
    ///
    /// # Errors
    /// Returns [`Error::Lost`] if the connection broke, otherwise [`Error::Identity`].
    pub(crate) async fn set_workspace(&self, workspace: &str) -> Result<()> {
        if self.workspace.is_some() {
            return Ok(());
        }
        let parameters = [(&workspace as &(dyn ToSql + Sync), Type::TEXT)];
        let set = self.client().query_typed(contract::WORKSPACE_SQL, &parameters).await;
        match set.map_err(Error::from) {
            Ok(_) => Ok(()),
            Err(lost @ Error::Lost(_)) => Err(lost),
            Err(error) => Err(Error::Identity(error.to_string())),
        }
    }

    /// Queries the instance's status.
    pub(crate) async fn query_status(&self) -> Result<InstanceStatus> {
        let parameters: [(values::Parameter<'_>, Type); 0] = [];
        let stream = self.client().query_typed_raw(contract::STATUS_SQL, parameters).await?;
        values::decode_status(&values::collect_rows(stream, self.limit).await?)
    }

    /// Runs a caller's statement. `affected` is 0 for statements that change no rows.
    pub(crate) async fn run_statement(&self, statement: &Statement) -> Result<Rows> {
        let parameters = values::parameters(statement);
        let stream = self.client().query_typed_raw(&statement.sql, parameters).await?;
        let mut rows = values::collect_rows(stream, self.limit).await?;
        if !guard::changes_rows(&statement.sql) {
            rows.affected = 0;
        }
        Ok(rows)
    }

    /// Runs a control statement without parameters and ignores its result.
    pub(crate) async fn run_control(&self, sql: &'static str) -> Result<()> {
        self.client().query_typed(sql, &[]).await?;
        Ok(())
    }
}
